# Decision library of shallotbeam. Targets: shallotbeam::Routing and
# shallotbeam::Admission with what they need.
include(CMakeFindDependencyMacro)
find_dependency(absl)
find_dependency(fmt)
find_dependency(nlohmann_json)
find_dependency(PkgConfig)
pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)
include("${CMAKE_CURRENT_LIST_DIR}/shallotbeamTargets.cmake")
