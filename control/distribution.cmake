# The server side of configuration distribution to nodes. It is a separate
# library because the follower uses its messages without the replicated state.
amaranth_library(distribution
  SOURCES src/EncodedUpdate.cpp src/EvidenceTable.cpp src/FollowMessages.cpp
    src/LeaseTable.cpp src/LeaderTasks.cpp src/MeshHistory.cpp
    src/NodeCalls.cpp src/NodeService.cpp
    src/NodeSession.cpp src/NodeStatistics.cpp src/RolloutAdapter.cpp
    src/NodeServiceStatus.cpp src/TimedRolloutController.cpp
  DEPENDS amaranth_control amaranth_rollout amaranth_document
    amaranth_protocol prometheus-cpp::core)

amaranth_test(distribution
  SOURCES test/DistributionTables_test.cpp)
