// Boost.JSON is compiled here once; other units see declarations only.
#include <boost/json/src.hpp>
