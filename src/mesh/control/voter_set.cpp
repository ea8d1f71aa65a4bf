#include "mesh/control/voter_set.hpp"
