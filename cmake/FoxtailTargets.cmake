# One precompiled header serves every target: they share all compile options.
add_library(foxtail_pch OBJECT ${CMAKE_SOURCE_DIR}/cmake/Pch.cpp)
target_link_libraries(foxtail_pch PRIVATE foxtail_options)
target_compile_options(foxtail_pch PRIVATE -fPIE)
target_precompile_headers(foxtail_pch PRIVATE
  <algorithm> <array> <atomic> <chrono> <cstdint> <functional> <map> <memory>
  <mutex> <optional> <span> <string> <string_view> <unordered_map> <utility>
  <variant> <vector> <absl/status/status.h> <absl/status/statusor.h>
  <boost/asio.hpp> <boost/beast/core.hpp> <boost/beast/http.hpp>
  <boost/json.hpp>)

function(foxtail_use_pch aTarget)
  target_compile_options(${aTarget} PRIVATE -fPIE)
  target_precompile_headers(${aTarget} REUSE_FROM foxtail_pch)
endfunction()

# Library foxtail_NAME of src/NAME/*.cpp, and its test program test_NAME of
# tests/NAME/*.cpp. DIR names another folder than src/NAME; mains in it, whose
# names begin with foxtail-, are left to foxtail_program().
function(foxtail_library aName)
  cmake_parse_arguments(ARG "" "DIR" "DEPS;TEST_DEPS" ${ARGN})
  if(NOT ARG_DIR)
    set(ARG_DIR src/${aName})
  endif()
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${ARG_DIR}/*.cpp)
  list(FILTER sources EXCLUDE REGEX "/foxtail-[^/]*$")
  if(sources)
    add_library(foxtail_${aName} STATIC ${sources})
    target_link_libraries(foxtail_${aName} PUBLIC foxtail_options ${ARG_DEPS})
    foxtail_use_pch(foxtail_${aName})
  else()
    add_library(foxtail_${aName} INTERFACE)
    target_link_libraries(foxtail_${aName} INTERFACE
      foxtail_options ${ARG_DEPS})
  endif()
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/${aName}/*.cpp)
  if(tests AND FOXTAIL_TESTS)
    add_executable(test_${aName} ${tests})
    target_link_libraries(test_${aName} PRIVATE foxtail_${aName}
      doctest::doctest rapidcheck ${ARG_TEST_DEPS})
    foxtail_use_pch(test_${aName})
    add_test(NAME ${aName} COMMAND test_${aName})
  endif()
endfunction()

# Program NAME of programs/NAME.cpp, or of another folder DIR, when that file
# exists.
function(foxtail_program aName)
  cmake_parse_arguments(ARG "" "DIR" "DEPS" ${ARGN})
  if(NOT ARG_DIR)
    set(ARG_DIR programs)
  endif()
  if(EXISTS ${CMAKE_SOURCE_DIR}/${ARG_DIR}/${aName}.cpp)
    add_executable(${aName} ${CMAKE_SOURCE_DIR}/${ARG_DIR}/${aName}.cpp)
    target_link_libraries(${aName} PRIVATE ${ARG_DEPS})
    foxtail_use_pch(${aName})
  endif()
endfunction()
