// Boost.JSON is used without its shared library, which Debian's header package does not contain.
#include <boost/json/src.hpp>
