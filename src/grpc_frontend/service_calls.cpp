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

std::optional<health::HealthCheckResponse::ServingStatus> servingStatus(const HealthState& state,
                                                                        const std::string& service) {
  if (!service.empty() && service != "garnethook.v1.Generation") return std::nullopt;
  return state.serving() ? health::HealthCheckResponse::SERVING : health::HealthCheckResponse::NOT_SERVING;
}

std::string serializedResponse(health::HealthCheckResponse::ServingStatus status) {
  health::HealthCheckResponse statusResponse;
  statusResponse.set_status(status);
  return statusResponse.SerializeAsString();
}

class CheckCall final : public Call {
 public:
  CheckCall(const HealthState& state, CallOutput& output) : state_(state), output_(output) {}
  void onMessage(std::string_view message) override {
    hasRequest_ = true;
    isValid_ = request_.ParseFromArray(message.data(), static_cast<int>(message.size()));
  }
  void onRequestEnd() override {
    if (!hasRequest_ || !isValid_)
      return output_.finish({grpc::Code::invalidArgument, "no HealthCheckRequest", {}}, {}, false);
    const auto status = servingStatus(state_, request_.service());
    if (!status) return output_.finish({grpc::Code::notFound, "unknown service", {}}, {}, false);
    output_.sendMessage(serializedResponse(*status));
    output_.finish({}, {}, false);
  }
  void onCancel() override {}

 private:
  const HealthState& state_;
  CallOutput& output_;
  health::HealthCheckRequest request_;
  bool hasRequest_ = false;
  bool isValid_ = false;
};

class WatchCall final : public Call {
 public:
  WatchCall(HealthState& state, CallOutput& output) : state_(state), output_(output) {}
  void onMessage(std::string_view message) override {
    hasRequest_ = request_.ParseFromArray(message.data(), static_cast<int>(message.size()));
  }
  void onRequestEnd() override {
    if (!hasRequest_)
      return output_.finish({grpc::Code::invalidArgument, "no HealthCheckRequest", {}}, {}, false);
    listener_ = state_.watch([this] { sendStatus(); });
    sendStatus();
  }
  void onCancel() override { listener_.reset(); }

 private:
  void sendStatus() {
    const auto status =
        servingStatus(state_, request_.service()).value_or(health::HealthCheckResponse::SERVICE_UNKNOWN);
    if (lastStatus_ != status) output_.sendMessage(serializedResponse(status));
    lastStatus_ = status;
  }
  HealthState& state_;
  CallOutput& output_;
  health::HealthCheckRequest request_;
  bool hasRequest_ = false;
  std::shared_ptr<HealthState::Listener> listener_;
  std::optional<health::HealthCheckResponse::ServingStatus> lastStatus_;
};

constexpr std::array<const char*, 4> kServices{"garnethook.v1.Generation", "grpc.health.v1.Health",
                                               "grpc.reflection.v1.ServerReflection",
                                               "grpc.reflection.v1alpha.ServerReflection"};

const google::protobuf::DescriptorPool& descriptorPool() {
  // References the generated files so that they are linked in and registered.
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
    if (finished_) return;
    reflect::ServerReflectionRequest request;
    if (!request.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
      finished_ = true;
      return output_.finish({grpc::Code::invalidArgument, "no ServerReflectionRequest", {}}, {}, false);
    }
    reflect::ServerReflectionResponse reply;
    reply.set_valid_host(request.host());
    *reply.mutable_original_request() = request;
    const auto addDescriptor = [&](const google::protobuf::FileDescriptor* fileDescriptor) {
      if (fileDescriptor == nullptr) return notFound(reply);
      std::set<std::string> seen;
      addFile(*fileDescriptor, seen, *reply.mutable_file_descriptor_response());
    };
    using Request = reflect::ServerReflectionRequest;
    switch (request.message_request_case()) {
      case Request::kFileByFilename:
        addDescriptor(descriptorPool().FindFileByName(request.file_by_filename()));
        break;
      case Request::kFileContainingSymbol:
        addDescriptor(descriptorPool().FindFileContainingSymbol(request.file_containing_symbol()));
        break;
      case Request::kListServices:
        for (const char* name : kServices)
          reply.mutable_list_services_response()->add_service()->set_name(name);
        break;
      case Request::kAllExtensionNumbersOfType:
        if (descriptorPool().FindMessageTypeByName(request.all_extension_numbers_of_type()) == nullptr)
          notFound(reply);
        else
          reply.mutable_all_extension_numbers_response()->set_base_type_name(
              request.all_extension_numbers_of_type());
        break;
      default: notFound(reply); break;
    }
    output_.sendMessage(reply.SerializeAsString());
  }
  void onRequestEnd() override {
    if (!std::exchange(finished_, true)) output_.finish({}, {}, false);
  }
  void onCancel() override { finished_ = true; }

 private:
  static void notFound(reflect::ServerReflectionResponse& reply) {
    reply.mutable_error_response()->set_error_code(static_cast<int>(grpc::Code::notFound));
    reply.mutable_error_response()->set_error_message("not found");
  }
  CallOutput& output_;
  bool finished_ = false;
};

}  // namespace

void HealthState::set(bool serving) {
  if (serving_ == serving) return;
  serving_ = serving;
  std::erase_if(listeners_, [](const auto& entry) { return entry.expired(); });
  const auto listenersCopy = listeners_;
  for (const auto& weakListener : listenersCopy)
    if (const auto listener = weakListener.lock()) (*listener)();
}

std::shared_ptr<HealthState::Listener> HealthState::watch(Listener listener) {
  std::erase_if(listeners_, [](const auto& entry) { return entry.expired(); });
  auto shared = std::make_shared<Listener>(std::move(listener));
  listeners_.push_back(shared);
  return shared;
}

std::unique_ptr<Call> makeHealthCheckCall(const HealthState& health, CallOutput& output) {
  return std::make_unique<CheckCall>(health, output);
}
std::unique_ptr<Call> makeHealthWatchCall(HealthState& health, CallOutput& output) {
  return std::make_unique<WatchCall>(health, output);
}
std::unique_ptr<Call> makeReflectionCall(CallOutput& output) {
  return std::make_unique<ReflectionCall>(output);
}

}  // namespace garnethook::grpc_frontend
