#include "sidecar/signals.hpp"

#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/Observer.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <utility>

namespace rackroute::sidecar {
namespace {

int signalSockets[2] = {-1, -1};

void onSignal(int number) {
  const char byte = static_cast<char>(number);
  [[maybe_unused]] const auto written = ::write(signalSockets[1], &byte, 1);
}

}  // namespace

Signals::Signals(Loop& loop) : loop_(loop) {
  if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, signalSockets) != 0)
    throw std::runtime_error("cannot create the socket pair for signals");
  socket_ = Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(signalSockets[0]));
  socket_.setBlocking(false);
  loop_.addEventHandler(socket_,
                        Poco::Observer<Signals, Poco::Net::ReadableNotification>(*this, &Signals::read));
  std::signal(SIGPIPE, SIG_IGN);
}

void Signals::on(int number, Loop::Task task) {
  tasks_[number] = std::move(task);
  struct sigaction action {};
  action.sa_handler = onSignal;
  action.sa_flags = SA_RESTART;
  ::sigaction(number, &action, nullptr);
}

void Signals::read(Poco::Net::ReadableNotification* event) {
  event->release();
  loop_.runGuarded([this] {
    char number = 0;
    if (socket_.receiveBytes(&number, 1) == 1) tasks_.at(number)();
  });
}

}  // namespace rackroute::sidecar
