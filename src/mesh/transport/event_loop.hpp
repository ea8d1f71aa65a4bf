#pragma once

// An event loop that also runs tasks posted by other threads.

#include <mutex>
#include <utility>
#include <vector>

#include "sidecar/loop.hpp"

namespace rackroute::mesh {

class EventLoop : public sidecar::Loop {
 public:
  /// Runs the task in the event loop. May be called from any thread.
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
    for (const Task& task : tasks) runGuarded(task);
  }

  std::mutex mutex_;
  std::vector<Task> posted_;
};

}  // namespace rackroute::mesh
