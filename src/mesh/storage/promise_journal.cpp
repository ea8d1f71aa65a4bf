#include "mesh/storage/promise_journal.hpp"
