find_package(Threads REQUIRED)
find_package(Boost 1.74 REQUIRED)
find_package(absl REQUIRED)
find_package(fmt REQUIRED)
find_package(spdlog REQUIRED)
find_package(gflags REQUIRED)
find_package(CapnProto REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(URCU REQUIRED IMPORTED_TARGET liburcu-memb)
pkg_check_modules(INIH REQUIRED IMPORTED_TARGET inih)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(ZSTD REQUIRED IMPORTED_TARGET libzstd)

# Adds every folder below ROOT that has a CMakeLists.txt.
function(oleandertide_add_all ROOT)
  file(GLOB lists CONFIGURE_DEPENDS "${CMAKE_SOURCE_DIR}/${ROOT}/*/CMakeLists.txt")
  foreach(list IN LISTS lists)
    get_filename_component(folder "${list}" DIRECTORY)
    add_subdirectory("${folder}")
  endforeach()
endfunction()

set(OLEANDERTIDE_WARNINGS -Wall -Wextra -Werror -Wno-psabi)

# oleandertide_library(NAME DEPENDS target...): all .cc files of the folder;
# headers are included as "NAME/file.h".
function(oleandertide_library NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS;PRIVATE_DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/*.cc")
  add_library(oleandertide_${NAME} STATIC ${sources})
  add_library(oleandertide::${NAME} ALIAS oleandertide_${NAME})
  target_include_directories(oleandertide_${NAME} PUBLIC "${CMAKE_SOURCE_DIR}/libraries")
  target_compile_options(oleandertide_${NAME} PRIVATE ${OLEANDERTIDE_WARNINGS})
  target_link_libraries(oleandertide_${NAME} PUBLIC ${ARG_DEPENDS} PRIVATE ${ARG_PRIVATE_DEPENDS})
endfunction()

# oleandertide_test(NAME DEPENDS target...): one Catch2 program of all *_test.cc
# files of the folder, registered with CTest.
function(oleandertide_test NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/*.cc")
  add_executable(${NAME}_test ${sources})
  target_include_directories(${NAME}_test PRIVATE "${CMAKE_SOURCE_DIR}/tests")
  target_compile_options(${NAME}_test PRIVATE ${OLEANDERTIDE_WARNINGS})
  target_link_libraries(${NAME}_test PRIVATE oleandertide_test_main rapidcheck ${ARG_DEPENDS})
  add_test(NAME ${NAME} COMMAND ${NAME}_test)
  set_tests_properties(${NAME} PROPERTIES
    ENVIRONMENT "RC_PARAMS=seed=20261204;UBSAN_OPTIONS=print_stacktrace=1"
    TIMEOUT 300)
endfunction()

# What oleandertide-sidecar does not need.
if(NOT OLEANDERTIDE_PROGRAMS_ONLY)
  find_package(Catch2 2 REQUIRED)
  find_package(rapidcheck REQUIRED)
  find_package(benchmark REQUIRED)
  pkg_check_modules(HTTPLIB REQUIRED IMPORTED_TARGET cpp-httplib)
endif()
