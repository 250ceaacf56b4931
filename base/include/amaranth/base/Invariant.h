#ifndef AMARANTH_BASE_INVARIANT_H
#define AMARANTH_BASE_INVARIANT_H

#include <cstdint>
#include <string_view>

namespace amaranth::base {

/// Number of invariants evaluated by this process so far. Exported as the
/// metric `amaranth_invariant_checks_total`; a test that relies on an
/// invariant asserts that the count grew.
std::uint64_t invariantChecks();

namespace detail {
void countInvariant();
[[noreturn]] void failInvariant(std::string_view Condition,
                                std::string_view Message, const char *File,
                                int Line);
} // namespace detail

} // namespace amaranth::base

/// Stops the process with a log line when `Condition` is false. Present in
/// every build: a process that broke a promise must not go on serving.
/// `Message` is evaluated only on a violation.
#define AMARANTH_INVARIANT(Condition, Message)                                 \
  do {                                                                         \
    ::amaranth::base::detail::countInvariant();                                \
    if (!(Condition))                                                          \
      ::amaranth::base::detail::failInvariant(#Condition, (Message), __FILE__, \
                                              __LINE__);                       \
  } while (false)

#endif
