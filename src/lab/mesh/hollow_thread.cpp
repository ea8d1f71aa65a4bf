#include "lab/mesh/hollow_thread.hpp"

#include <chrono>
#include <cmath>
#include <string>
#include <utility>

namespace rackroute::lab::mesh {
namespace {

using namespace std::chrono_literals;

constexpr Span kLastTurn = 100ms;  // for sessions to close at the end

/// Of 1, as a pause of a Poisson process; rate in events a second, above 0.
Span nextArrival(Chance& chance, double rate) {
  const double seconds = -std::log(1 - fraction(chance)) / rate;
  return std::chrono::duration_cast<Span>(std::chrono::duration<double>(seconds));
}

}  // namespace

HollowThread::HollowThread(Board& board, std::uint32_t number, std::uint64_t seed,
                           std::vector<HollowIdentity> identities)
    : board_(board), number_(number), chance_(chanceOf(seed, Purpose::clients, number)) {
  for (HollowIdentity& identity : identities)
    sidecars_.push_back(std::make_unique<HollowSidecar>(loop_, compressor_, board_, std::move(identity)));
}

void HollowThread::start(Span over, double news, double claims) {
  for (std::size_t i = 0; i < sidecars_.size(); ++i) {
    const Span at = over * static_cast<Span::rep>(i) / static_cast<Span::rep>(sidecars_.size());
    loop_.in(at, [sidecar = sidecars_[i].get()] { sidecar->start(); });
  }
  if (news > 0) drawNews(news);
  if (claims > 0) drawClaims(claims);
  thread_ = std::thread([this] { loop_.run(); });
}

void HollowThread::join() {
  if (!thread_.joinable()) return;
  loop_.post([this] {
    for (const auto& sidecar : sidecars_) sidecar->end();
    loop_.in(kLastTurn, [this] { loop_.stop(); });
  });
  thread_.join();
}

void HollowThread::collectClaims(std::vector<double>& won, std::uint64_t& refused) const {
  for (const auto& sidecar : sidecars_) {
    won.insert(won.end(), sidecar->claimMilliseconds.begin(), sidecar->claimMilliseconds.end());
    refused += sidecar->claimsRefused;
  }
}

double HollowThread::latestTimerMilliseconds() const {
  return milliseconds(static_cast<std::int64_t>(loop_.counters.latestTimer));
}

HollowSidecar& HollowThread::any() {
  const auto place = static_cast<std::size_t>(fraction(chance_) * static_cast<double>(sidecars_.size()));
  return *sidecars_[place];
}

void HollowThread::drawNews(double rate) {
  loop_.in(nextArrival(chance_, rate), [this, rate] {
    if (board_.measuring) any().changeServer();
    drawNews(rate);
  });
}

void HollowThread::drawClaims(double rate) {
  loop_.in(nextArrival(chance_, rate), [this, rate] {
    if (board_.measuring) any().claim("k" + std::to_string(number_) + '-' + std::to_string(++keys_));
    drawClaims(rate);
  });
}

}  // namespace rackroute::lab::mesh
