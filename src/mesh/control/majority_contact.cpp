#include "mesh/control/majority_contact.hpp"
