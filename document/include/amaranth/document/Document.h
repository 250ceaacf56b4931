#ifndef AMARANTH_DOCUMENT_DOCUMENT_H
#define AMARANTH_DOCUMENT_DOCUMENT_H

#include "amaranth/base/Error.h"
#include "amaranth/base/Millis.h"
#include "amaranth/document/MeshSnapshot.h"
#include "amaranth/document/SectionText.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace amaranth::document {

/// Limits of a document. They bound the memory of each control process and
/// node, and are about eight times the target size.
inline constexpr std::size_t MaxRoutes = 4096;
inline constexpr std::size_t MaxServices = 2048;
inline constexpr std::size_t MaxVersionsPerService = 64;
/// About four times the target size of 2,000.
inline constexpr std::size_t MaxCustomers = 8192;
inline constexpr std::size_t MaxSections = 16'384;
inline constexpr std::size_t MaxSectionBytes = 16U << 10U;
/// Total size of all section names and bodies.
inline constexpr std::size_t MaxDocumentBytes = 4U << 20U;
/// Limit for a rate or burst, far above what the target size carries.
inline constexpr double MaxRequestRate = 1e9;
/// Limit for the names of routes, services, versions, customers, teams and
/// operators.
inline constexpr std::size_t MaxNameBytes = 64;
inline constexpr std::size_t MaxPathBytes = 256;

/// Whether `Text` has 1 to `MaxNameBytes` characters of `A-Z a-z 0-9 . _ -`
/// and begins with a letter or digit.
bool isValidName(std::string_view Text);

/// `[route NAME]`
struct RouteSection {
  base::TeamName Owner;
  Route Value;
};

/// `[service NAME]`
struct ServiceSection {
  base::ServiceName Name;
  base::TeamName Owner;
  /// Receives all traffic while the service has no rollout.
  base::VersionName Version;
  /// How long an upstream is cold after its start, and the requests a second
  /// that it bears meanwhile; 0 if it bears as many as a warm one.
  base::Millis ColdPeriod;
  double ColdRequestsPerSecond = 0;
};

/// `[customer NAME]`. Contains digests of keys and no key.
struct CustomerSection {
  base::TeamName Owner;
  Customer Value;
};

/// `[version SERVICE/ID]`
struct VersionSection {
  base::ServiceName Service;
  base::VersionName Id;
  base::TeamName Owner;
  std::string Note;
};

/// `[rollout SERVICE]`
struct RolloutSection {
  base::ServiceName Service;
  base::TeamName Owner;
  base::VersionName From;
  base::VersionName To;
  base::WallTime Start;
  base::WallTime Deadline;
  /// Accepted difference of the error rates (new - old), 0 to 0.5.
  double MaxErrorIncrease = 0.01;
  /// Accepted ratio of the latencies (new / old), 1 to 100.
  double MaxLatencyRatio = 1.5;
  /// Shares of the new version in millionths, increasing up to `FullShare`.
  std::vector<std::uint32_t> Steps = {10'000, 50'000, 200'000, 500'000,
                                      FullShare};
  std::uint32_t MinRequests = 50;
  /// Set to roll back instead of advancing if there is too little traffic.
  bool HighRisk = false;
};

/// Rollout state that determines the traffic of a service together with the
/// document.
struct RolloutTraffic {
  base::Revision Section;
  std::uint64_t Epoch = 0;
  /// Share of the new version in millionths.
  std::uint32_t Share = 0;
  /// Set until the rollout is done or rolled back.
  bool Running = false;
};
using RolloutTrafficMap = std::map<base::ServiceName, RolloutTraffic>;
/// The rolled-back version of each service that has one.
using BarredVersions = std::map<base::ServiceName, base::VersionName>;

/// A valid configuration document.
class Document {
public:
  /// Parses and validates sections. Appends all faults to `Faults`; the result
  /// is valid only if none was appended.
  static Document parse(const std::vector<SectionText> &Sections,
                        const std::string &FileName,
                        std::vector<base::FileFault> &Faults);
  /// Parses and validates INI text in the same way.
  static Document parse(std::string_view Text, const std::string &FileName,
                        std::vector<base::FileFault> &Faults);

  const std::map<base::RouteName, RouteSection> &routes() const {
    return Routes;
  }
  const std::map<base::ServiceName, ServiceSection> &services() const {
    return Services;
  }
  using VersionKey = std::pair<base::ServiceName, base::VersionName>;
  const std::map<VersionKey, VersionSection> &versions() const {
    return Versions;
  }
  const std::map<base::ServiceName, RolloutSection> &rollouts() const {
    return Rollouts;
  }
  const std::map<base::CustomerName, CustomerSection> &customers() const {
    return Customers;
  }

  /// Fills the routes, services and customers of `Mesh`. A service with a
  /// rollout section and no entry in `Traffic` sends all requests to the old
  /// version.
  void fillMesh(MeshSnapshot &Mesh, const RolloutTrafficMap &Traffic,
                const BarredVersions &Barred) const;

private:
  friend class DocumentParser;

  std::map<base::RouteName, RouteSection> Routes;
  std::map<base::ServiceName, ServiceSection> Services;
  std::map<VersionKey, VersionSection> Versions;
  std::map<base::ServiceName, RolloutSection> Rollouts;
  std::map<base::CustomerName, CustomerSection> Customers;
  /// The values of `Customers`, which successive snapshots share: an endpoint
  /// changes far more often than a customer.
  SharedMap<base::CustomerName, Customer> CustomerValues;
};

/// Returns the owner of a section; empty if it is missing or malformed.
base::TeamName sectionOwner(const SectionText &Section);

/// Parses one rollout section for the rollout controller. Reports faults like
/// `Document::parse`.
RolloutSection parseRollout(const SectionText &Section,
                            const std::string &FileName,
                            std::vector<base::FileFault> &Faults);

} // namespace amaranth::document

#endif
