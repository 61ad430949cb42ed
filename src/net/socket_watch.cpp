#include "net/socket_watch.h"

#include <Poco/NObserver.h>
#include <Poco/Net/SocketNotification.h>

#include <utility>

#include "net/retry_delay.h"

namespace garnethook::net {
namespace {

using Poco::Net::ErrorNotification;
using Poco::Net::ReadableNotification;
using Poco::Net::WritableNotification;

}  // namespace

// Bundles POCO's observers, which are typed by notification.
class SocketWatch::Observers {
 public:
  explicit Observers(Events& events)
      : events_(events),
        read_(*this, &Observers::onReadable),
        write_(*this, &Observers::onWritable),
        failure_(*this, &Observers::onFailure) {}
  const Poco::AbstractObserver& read() const { return read_; }
  const Poco::AbstractObserver& write() const { return write_; }
  const Poco::AbstractObserver& failure() const { return failure_; }

 private:
  void onReadable(const Poco::AutoPtr<ReadableNotification>&) { events_.readable(); }
  void onWritable(const Poco::AutoPtr<WritableNotification>&) { events_.writable(); }
  void onFailure(const Poco::AutoPtr<ErrorNotification>&) {
    if (events_.failed) events_.failed();
  }
  Events& events_;
  Poco::NObserver<Observers, ReadableNotification> read_;
  Poco::NObserver<Observers, WritableNotification> write_;
  Poco::NObserver<Observers, ErrorNotification> failure_;
};

SocketWatch::SocketWatch(Loop& loop, Events events)
    : loop_(loop),
      events_(std::move(events)),
      retryAlarm_(loop),
      observers_(std::make_unique<Observers>(events_)) {}

SocketWatch::~SocketWatch() { unregister(); }

void SocketWatch::await(bool reading, bool writing, bool failure) {
  const Interest wanted{reading, writing, failure};
  if (wanted == wanted_) return;
  wanted_ = wanted;
  retryDelay_ = 0;
  updateRegistration();
}

// Removes all observers before adding the wanted ones: as long as a socket has any observer left, the reactor
// (POCO 1.11.0) keeps polling for the readiness that a removed observer was registered for, and spins on it.
void SocketWatch::updateRegistration() {
  retryAlarm_.stop();
  unregister();
  auto& reactor = loop_.reactor();
  try {
    registered_ = wanted_;
    if (wanted_.reading) reactor.addEventHandler(socket_, observers_->read());
    if (wanted_.writing) reactor.addEventHandler(socket_, observers_->write());
    if (wanted_.failure) reactor.addEventHandler(socket_, observers_->failure());
  } catch (const Poco::Exception&) {  // refused by the system; a partial registration must not remain
    unregister();
    retryDelay_ = nextRetryDelay(retryDelay_);
    retryAlarm_.start(retryDelay_, [this] { updateRegistration(); });
  }
}

void SocketWatch::unregister() {
  auto& reactor = loop_.reactor();
  const auto remove = [&](bool& isRegistered, const Poco::AbstractObserver& observer) {
    if (!isRegistered) return;
    isRegistered = false;
    try {
      reactor.removeEventHandler(socket_, observer);
    } catch (const Poco::Exception&) {  // the socket was not registered with the system
    }
  };
  remove(registered_.reading, observers_->read());
  remove(registered_.writing, observers_->write());
  remove(registered_.failure, observers_->failure());
}

}  // namespace garnethook::net
