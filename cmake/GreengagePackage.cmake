# Declares one package of the workspace.
#
#   greengage_package(NAME [DEPENDS lib...])
#
# Sources come from lib/, public headers from include/, tests from unittests/
# and benchmarks from benchmarks/. Each public header is also compiled alone.

if(GREENGAGE_TESTS)
  add_library(greengage_test_main STATIC ${CMAKE_SOURCE_DIR}/cmake/TestMain.cpp)
  target_link_libraries(greengage_test_main PUBLIC Catch2::Catch2)
endif()

function(greengage_header_check name)
  file(GLOB_RECURSE headers CONFIGURE_DEPENDS
       ${CMAKE_CURRENT_SOURCE_DIR}/include/*.h)
  list(FILTER headers EXCLUDE REGEX "_generated\\.h$")
  set(units)
  foreach(header IN LISTS headers)
    file(RELATIVE_PATH relative ${CMAKE_CURRENT_SOURCE_DIR}/include ${header})
    string(MAKE_C_IDENTIFIER ${relative} identifier)
    set(unit ${CMAKE_CURRENT_BINARY_DIR}/headers/${identifier}.cpp)
    file(CONFIGURE OUTPUT ${unit} CONTENT "#include \"${relative}\"\n")
    list(APPEND units ${unit})
  endforeach()
  if(units)
    add_library(${name}_headers OBJECT EXCLUDE_FROM_ALL ${units})
    target_link_libraries(${name}_headers PRIVATE ${name})
    target_compile_options(${name}_headers PRIVATE -fsyntax-only)
    set_property(GLOBAL APPEND PROPERTY GREENGAGE_HEADER_CHECKS ${name}_headers)
  endif()
endfunction()

function(greengage_package package)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  set(name greengage_${package})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS
       ${CMAKE_CURRENT_SOURCE_DIR}/lib/*.cpp)
  if(sources)
    add_library(${name} STATIC ${sources})
    set(scope PUBLIC)
  else()
    add_library(${name} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(${name} ${scope}
                             ${CMAKE_CURRENT_SOURCE_DIR}/include)
  target_link_libraries(${name} ${scope} ${ARG_DEPENDS})
  if(NOT GREENGAGE_TESTS)
    return()
  endif()
  greengage_header_check(${name})

  file(GLOB tests CONFIGURE_DEPENDS
       ${CMAKE_CURRENT_SOURCE_DIR}/unittests/*.cpp)
  if(tests)
    add_executable(${package}_tests ${tests})
    target_link_libraries(${package}_tests PRIVATE ${name} greengage_test_main
                          greengage_support)
    add_test(NAME ${package} COMMAND ${package}_tests)
    set_tests_properties(${package} PROPERTIES TIMEOUT 300)
  endif()

  file(GLOB benchmarks CONFIGURE_DEPENDS
       ${CMAKE_CURRENT_SOURCE_DIR}/benchmarks/*Bench.cpp)
  if(benchmarks)
    add_executable(${package}_bench ${benchmarks})
    target_link_libraries(${package}_bench PRIVATE ${name}
                          benchmark::benchmark_main)
  endif()
endfunction()
