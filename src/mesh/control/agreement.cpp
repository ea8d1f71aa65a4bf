#include "mesh/control/agreement.hpp"
