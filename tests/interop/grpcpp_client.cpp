// Interoperability check with the official gRPC C++ client: uses stubs generated from the public .proto and
// the standard health and reflection services. Exits with 0 if all checks pass.
#include <grpcpp/grpcpp.h>

#include <chrono>
#include <iostream>
#include <thread>
#include <vector>

#include "garnethook/v1/generate.grpc.pb.h"
#include "grpc/health/v1/health.grpc.pb.h"
#include "grpc/reflection/v1/reflection.grpc.pb.h"

namespace {

int failures = 0;
void check(bool passed, const char* description) {
  std::cout << (passed ? "ok    " : "WRONG ") << description << '\n';
  failures += passed ? 0 : 1;
}

void setDeadline(grpc::ClientContext& context, int timeoutMs) {
  context.set_deadline(std::chrono::system_clock::now() + std::chrono::milliseconds(timeoutMs));
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  const auto channel = grpc::CreateChannel(argv[1], grpc::InsecureChannelCredentials());
  const auto stub = garnethook::v1::Generation::NewStub(channel);

  {
    grpc::ClientContext context;
    setDeadline(context, 5000);
    garnethook::v1::GenerateRequest request;
    request.set_prompt("is the north depot's flag on?");
    const auto reader = stub->Generate(&context, request);
    garnethook::v1::GenerateEvent event;
    std::uint32_t tokens = 0;
    bool isOrdered = true;
    bool hasFinish = false;
    while (reader->Read(&event)) {
      if (event.has_tokens()) {
        isOrdered = isOrdered && event.tokens().index() == tokens;
        tokens += event.tokens().count();
      }
      hasFinish = event.has_finish();
    }
    const auto status = reader->Finish();
    check(status.ok() && hasFinish && isOrdered && tokens > 0,
          "a streamed response arrives in order and completes");
  }
  {
    grpc::ClientContext context;
    setDeadline(context, 5000);
    garnethook::v1::GenerateRequest request;
    request.set_prompt(std::string(100'000, 'x'));  // spans many DATA frames and exceeds the initial window
    garnethook::v1::GenerateResponse response;
    check(stub->GenerateOnce(&context, request, &response).ok() && !response.text().empty(),
          "a unary response to a long prompt");
  }
  {
    grpc::ClientContext context;
    setDeadline(context, 5000);
    garnethook::v1::GenerateResponse response;
    const auto status = stub->GenerateOnce(&context, {}, &response);
    check(status.error_code() == grpc::StatusCode::INVALID_ARGUMENT &&
              status.error_message() == "prompt: is empty",
          "an invalid argument is rejected with its message");
  }
  {
    grpc::ClientContext context;
    setDeadline(context, 5000);
    garnethook::v1::GenerateRequest request;
    request.set_prompt("cancel me");
    const auto reader = stub->Generate(&context, request);
    context.TryCancel();
    garnethook::v1::GenerateEvent event;
    while (reader->Read(&event)) {}
    check(reader->Finish().error_code() == grpc::StatusCode::CANCELLED, "a cancelled call");
  }
  {
    std::vector<std::thread> threads;
    std::atomic<int> served = 0;
    for (int threadIndex = 0; threadIndex < 8; ++threadIndex)
      threads.emplace_back([&, threadIndex] {
        for (int callIndex = 0; callIndex < 10; ++callIndex) {
          grpc::ClientContext context;
          setDeadline(context, 10'000);
          garnethook::v1::GenerateRequest request;
          request.set_prompt("caller " + std::to_string(threadIndex * 100 + callIndex));
          garnethook::v1::GenerateResponse response;
          served += stub->GenerateOnce(&context, request, &response).ok() ? 1 : 0;
        }
      });
    for (auto& worker : threads) worker.join();
    check(served == 80, "80 concurrent calls from 8 threads on one connection");
  }
  {
    const auto health = grpc::health::v1::Health::NewStub(channel);
    grpc::ClientContext context;
    setDeadline(context, 5000);
    grpc::health::v1::HealthCheckResponse response;
    grpc::health::v1::HealthCheckRequest request;
    request.set_service("garnethook.v1.Generation");
    check(health->Check(&context, request, &response).ok() &&
              response.status() == grpc::health::v1::HealthCheckResponse::SERVING,
          "health");
    grpc::ClientContext other;
    setDeadline(other, 5000);
    request.set_service("nobody");
    check(health->Check(&other, request, &response).error_code() == grpc::StatusCode::NOT_FOUND,
          "health of an unknown service");
  }
  {
    const auto reflection = grpc::reflection::v1::ServerReflection::NewStub(channel);
    grpc::ClientContext context;
    setDeadline(context, 5000);
    const auto stream = reflection->ServerReflectionInfo(&context);
    grpc::reflection::v1::ServerReflectionRequest request;
    grpc::reflection::v1::ServerReflectionResponse response;
    request.set_list_services("*");
    check(stream->Write(request) && stream->Read(&response) &&
              response.list_services_response().service_size() == 4,
          "reflection lists the services");
    request.set_file_containing_symbol("garnethook.v1.Generation");
    check(stream->Write(request) && stream->Read(&response) &&
              response.file_descriptor_response().file_descriptor_proto_size() == 1,
          "reflection returns the file descriptor of the service");
    stream->WritesDone();
    check(stream->Finish().ok(), "the reflection stream ends with OK");
  }
  return failures == 0 ? 0 : 1;
}
