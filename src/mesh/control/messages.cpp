#include "mesh/control/messages.hpp"
