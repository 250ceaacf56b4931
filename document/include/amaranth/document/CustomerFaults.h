#ifndef AMARANTH_DOCUMENT_CUSTOMERFAULTS_H
#define AMARANTH_DOCUMENT_CUSTOMERFAULTS_H

#include "amaranth/document/Customer.h"
#include "amaranth/document/SharedMap.h"

#include <string>
#include <vector>

namespace amaranth::document {

using CustomerMap = SharedMap<base::CustomerName, Customer>;

/// One message per fault of the customers: a name that differs from the map
/// key, keys out of order or repeated, a limit that is not finite or negative,
/// and two customers with one key. A message names customers and never a key.
///
/// Does not check what `Valid`, which has no faults, contains as well: with
/// 2,000 customers and a change of one each 60 ms, the work depends on the
/// changed customers except for one search per key.
std::vector<std::string> customerFaults(const CustomerMap &Customers,
                                        const CustomerMap &Valid);

} // namespace amaranth::document

#endif
