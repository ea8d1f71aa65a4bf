#include "mesh/control/membership.hpp"
