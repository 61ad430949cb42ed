#include "grpc_frontend/service_calls.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/descriptor.pb.h>

#include <array>
#include <utility>

#include "garnethook/v1/generate.pb.h"
#include "grpc/health/v1/health.pb.h"
#include "grpc/reflection/v1/reflection.pb.h"
#include "grpc/reflection/v1alpha/reflection.pb.h"

namespace garnethook::grpc_frontend {
namespace {

namespace health = ::grpc::health::v1;
namespace reflect = ::grpc::reflection::v1;

std::optional<health::HealthCheckResponse::ServingStatus> statusOf(const HealthState& state,
                                                                   const std::string& service) {
  if (!service.empty() && service != "garnethook.v1.Generation") return std::nullopt;
  return state.serving() ? health::HealthCheckResponse::SERVING : health::HealthCheckResponse::NOT_SERVING;
}

std::string response(health::HealthCheckResponse::ServingStatus status) {
  health::HealthCheckResponse out;
  out.set_status(status);
  return out.SerializeAsString();
}

class CheckCall final : public Call {
 public:
  CheckCall(const HealthState& state, CallOutput& output) : state_(state), output_(output) {}
  void onMessage(std::string_view message) override {
    seen_ = true;
    good_ = request_.ParseFromArray(message.data(), static_cast<int>(message.size()));
  }
  void onRequestEnd() override {
    if (!seen_ || !good_)
      return output_.finish({grpc::Code::invalidArgument, "no HealthCheckRequest", {}}, {}, false);
    const auto status = statusOf(state_, request_.service());
    if (!status) return output_.finish({grpc::Code::notFound, "unknown service", {}}, {}, false);
    output_.message(response(*status));
    output_.finish({}, {}, false);
  }
  void onGone() override {}

 private:
  const HealthState& state_;
  CallOutput& output_;
  health::HealthCheckRequest request_;
  bool seen_ = false;
  bool good_ = false;
};

class WatchCall final : public Call {
 public:
  WatchCall(HealthState& state, CallOutput& output) : state_(state), output_(output) {}
  void onMessage(std::string_view message) override {
    seen_ = request_.ParseFromArray(message.data(), static_cast<int>(message.size()));
  }
  void onRequestEnd() override {
    if (!seen_) return output_.finish({grpc::Code::invalidArgument, "no HealthCheckRequest", {}}, {}, false);
    listener_ = state_.watch([this] { tell(); });
    tell();
  }
  void onGone() override { listener_.reset(); }

 private:
  void tell() {
    const auto status =
        statusOf(state_, request_.service()).value_or(health::HealthCheckResponse::SERVICE_UNKNOWN);
    if (last_ != status) output_.message(response(status));
    last_ = status;
  }
  HealthState& state_;
  CallOutput& output_;
  health::HealthCheckRequest request_;
  bool seen_ = false;
  std::shared_ptr<HealthState::Listener> listener_;
  std::optional<health::HealthCheckResponse::ServingStatus> last_;
};

constexpr std::array<const char*, 4> kServices{"garnethook.v1.Generation", "grpc.health.v1.Health",
                                               "grpc.reflection.v1.ServerReflection",
                                               "grpc.reflection.v1alpha.ServerReflection"};

const google::protobuf::DescriptorPool& pool() {
  // Makes sure that the files are linked in and known.
  v1::GenerateRequest::descriptor();
  health::HealthCheckRequest::descriptor();
  reflect::ServerReflectionRequest::descriptor();
  ::grpc::reflection::v1alpha::ServerReflectionRequest::descriptor();
  return *google::protobuf::DescriptorPool::generated_pool();
}

void addFile(const google::protobuf::FileDescriptor& file, std::set<std::string>& seen,
             reflect::FileDescriptorResponse& out) {
  if (!seen.insert(file.name()).second) return;
  google::protobuf::FileDescriptorProto proto;
  file.CopyTo(&proto);
  out.add_file_descriptor_proto(proto.SerializeAsString());
  for (int i = 0; i < file.dependency_count(); ++i) addFile(*file.dependency(i), seen, out);
}

class ReflectionCall final : public Call {
 public:
  explicit ReflectionCall(CallOutput& output) : output_(output) {}
  void onMessage(std::string_view message) override {
    if (over_) return;
    reflect::ServerReflectionRequest request;
    if (!request.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
      over_ = true;
      return output_.finish({grpc::Code::invalidArgument, "no ServerReflectionRequest", {}}, {}, false);
    }
    reflect::ServerReflectionResponse answer;
    answer.set_valid_host(request.host());
    *answer.mutable_original_request() = request;
    const auto file = [&](const google::protobuf::FileDescriptor* f) {
      if (f == nullptr) return notFound(answer);
      std::set<std::string> seen;
      addFile(*f, seen, *answer.mutable_file_descriptor_response());
    };
    using Request = reflect::ServerReflectionRequest;
    switch (request.message_request_case()) {
      case Request::kFileByFilename: file(pool().FindFileByName(request.file_by_filename())); break;
      case Request::kFileContainingSymbol:
        file(pool().FindFileContainingSymbol(request.file_containing_symbol()));
        break;
      case Request::kListServices:
        for (const char* name : kServices)
          answer.mutable_list_services_response()->add_service()->set_name(name);
        break;
      case Request::kAllExtensionNumbersOfType:
        if (pool().FindMessageTypeByName(request.all_extension_numbers_of_type()) == nullptr)
          notFound(answer);
        else
          answer.mutable_all_extension_numbers_response()->set_base_type_name(
              request.all_extension_numbers_of_type());
        break;
      default: notFound(answer); break;
    }
    output_.message(answer.SerializeAsString());
  }
  void onRequestEnd() override {
    if (!std::exchange(over_, true)) output_.finish({}, {}, false);
  }
  void onGone() override { over_ = true; }

 private:
  static void notFound(reflect::ServerReflectionResponse& answer) {
    answer.mutable_error_response()->set_error_code(static_cast<int>(grpc::Code::notFound));
    answer.mutable_error_response()->set_error_message("not found");
  }
  CallOutput& output_;
  bool over_ = false;
};

}  // namespace

void HealthState::set(bool serving) {
  if (serving_ == serving) return;
  serving_ = serving;
  std::erase_if(listeners_, [](const auto& l) { return l.expired(); });
  const auto all = listeners_;
  for (const auto& weak : all)
    if (const auto listener = weak.lock()) (*listener)();
}

std::shared_ptr<HealthState::Listener> HealthState::watch(Listener listener) {
  std::erase_if(listeners_, [](const auto& l) { return l.expired(); });
  auto kept = std::make_shared<Listener>(std::move(listener));
  listeners_.push_back(kept);
  return kept;
}

std::unique_ptr<Call> healthCheck(const HealthState& health, CallOutput& output) {
  return std::make_unique<CheckCall>(health, output);
}
std::unique_ptr<Call> healthWatch(HealthState& health, CallOutput& output) {
  return std::make_unique<WatchCall>(health, output);
}
std::unique_ptr<Call> reflection(CallOutput& output) { return std::make_unique<ReflectionCall>(output); }

}  // namespace garnethook::grpc_frontend
