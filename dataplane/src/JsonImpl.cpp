// Boost.JSON is compiled here; every other unit sees declarations only.
#include <boost/json/src.hpp>
