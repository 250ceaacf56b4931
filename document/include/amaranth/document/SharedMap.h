#ifndef AMARANTH_DOCUMENT_SHAREDMAP_H
#define AMARANTH_DOCUMENT_SHAREDMAP_H

#include <cstddef>
#include <map>
#include <memory>
#include <utility>

namespace amaranth::document {

/// An ordered map whose copies share their content until one of them changes.
/// Successive snapshots differ in few entries, so most of their maps are
/// shared. Not thread-safe: copies must not be changed in different threads.
template <typename Key, typename Value> class SharedMap {
public:
  using Map = std::map<Key, Value>;
  // Names that the standard library expects of a container.
  // NOLINTBEGIN(readability-identifier-naming)
  using value_type = typename Map::value_type;
  using const_iterator = typename Map::const_iterator;
  // NOLINTEND(readability-identifier-naming)

  SharedMap() : Content(std::make_shared<Map>()) {}

  const_iterator begin() const { return Content->begin(); }
  const_iterator end() const { return Content->end(); }
  const_iterator find(const Key &Id) const { return Content->find(Id); }
  bool contains(const Key &Id) const { return Content->contains(Id); }
  /// Throws `std::out_of_range` if there is no entry.
  const Value &at(const Key &Id) const { return Content->at(Id); }
  std::size_t size() const { return Content->size(); }
  bool empty() const { return Content->empty(); }

  /// True if nothing was changed in either since one was copied from the other.
  /// Maps with equal content may be stored separately.
  bool sharesWith(const SharedMap &Other) const {
    return Content == Other.Content;
  }
  friend bool operator==(const SharedMap &A, const SharedMap &B) {
    return A.Content == B.Content || *A.Content == *B.Content;
  }

  /// The content for a change. Invalidates iterators of this map.
  Map &edit() {
    if (Content.use_count() != 1)
      Content = std::make_shared<Map>(*Content);
    return *Content;
  }
  Value &operator[](const Key &Id) { return edit()[Id]; }
  template <typename... Args> auto emplace(Args &&...Values) {
    return edit().emplace(std::forward<Args>(Values)...);
  }
  std::size_t erase(const Key &Id) { return edit().erase(Id); }
  void clear() { Content = std::make_shared<Map>(); }

private:
  std::shared_ptr<Map> Content;
};

} // namespace amaranth::document

#endif
