# amaranth_library(<package> SOURCES <files> DEPENDS <targets>)
# Defines the static library amaranth_<package> with the package's include
# folder as its public include directory.
function(amaranth_library Package)
  cmake_parse_arguments(Arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(amaranth_${Package} STATIC ${Arg_SOURCES})
  target_include_directories(amaranth_${Package}
    PUBLIC include
    PRIVATE src)
  target_link_libraries(amaranth_${Package} PUBLIC ${Arg_DEPENDS})
  amaranth_warnings(amaranth_${Package})
endfunction()

# Warnings and compile definitions shared by every target of the project.
function(amaranth_warnings Target)
  target_compile_options(${Target} PRIVATE -Wall -Wextra -Wpedantic
    -Wno-missing-field-initializers
    # g++ 12 reports false positives for the coroutine frames of Asio.
    -Wno-mismatched-new-delete)
  target_compile_definitions(${Target} PUBLIC
    BOOST_ASIO_SEPARATE_COMPILATION BOOST_BEAST_SEPARATE_COMPILATION
    BOOST_ASIO_NO_DEPRECATED)
endfunction()

# amaranth_test(<package> [NAME <name>] SOURCES <files> DEPENDS <targets>)
# Defines one Catch2 program for the package and registers it with CTest, by
# default as <package>_test.
function(amaranth_test Package)
  if(NOT AMARANTH_TESTS)
    return()
  endif()
  cmake_parse_arguments(Arg "" "NAME" "SOURCES;DEPENDS" ${ARGN})
  if(NOT Arg_NAME)
    set(Arg_NAME ${Package}_test)
  endif()
  add_executable(${Arg_NAME} ${Arg_SOURCES})
  target_link_libraries(${Arg_NAME}
    PRIVATE amaranth_test_main amaranth_${Package} ${Arg_DEPENDS})
  amaranth_warnings(${Arg_NAME})
  add_test(NAME ${Arg_NAME} COMMAND ${Arg_NAME})
  # Keeps a test that waits for a condition that never holds from hanging CI.
  set_tests_properties(${Arg_NAME} PROPERTIES TIMEOUT 300)
endfunction()
