#pragma once

// The shared loop with one thing more: work that another thread hands to it. It owns what was handed over and
// not yet run.

#include <mutex>
#include <utility>
#include <vector>

#include "sidecar/loop.hpp"

namespace rackroute::mesh {

class EventLoop : public sidecar::Loop {
 public:
  /// From any thread; the task runs in a turn of the loop.
  void post(Task task) {
    {
      const std::lock_guard guard(mutex_);
      posted_.push_back(std::move(task));
    }
    wakeUp();
  }

 protected:
  void onBusy() override {
    runPosted();
    Loop::onBusy();
  }
  void onTimeout() override {
    runPosted();
    Loop::onTimeout();
  }

 private:
  void runPosted() {
    std::vector<Task> tasks;
    {
      const std::lock_guard guard(mutex_);
      tasks.swap(posted_);
    }
    for (const Task& task : tasks) guarded(task);
  }

  std::mutex mutex_;
  std::vector<Task> posted_;
};

}  // namespace rackroute::mesh
