// Compiles Boost.JSON once for this program.
#include <boost/json/src.hpp>
