# Packages of the workspace: one static library per folder of lib/, one test
# program per folder of unittests/. A package lists the packages that it depends
# on; dependencies have no cycles.

add_library(tw_options INTERFACE)
target_compile_options(tw_options INTERFACE -Wall -Wextra -Wpedantic $<$<CXX_COMPILER_ID:GNU>:-Wshadow=local> -Werror)
target_include_directories(tw_options INTERFACE ${CMAKE_SOURCE_DIR}/include)
if(TOUCANWHARF_SANITIZE)
  target_compile_options(tw_options INTERFACE
    -fsanitize=${TOUCANWHARF_SANITIZE} -fno-sanitize-recover=all -fno-omit-frame-pointer
    # In instrumented code g++ wrongly reports uninitialized variables in the
    # standard library; the plain build keeps the warning.
    $<$<CXX_COMPILER_ID:GNU>:-Wno-maybe-uninitialized>)
  target_link_options(tw_options INTERFACE -fsanitize=${TOUCANWHARF_SANITIZE})
endif()

# tw_unit_tests(NAME LIBRARY): builds the test program test_NAME from
# unittests/NAME/*.cc, if there are any.
function(tw_unit_tests NAME library)
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/unittests/${NAME}/*.cc)
  if(tests)
    # Boost.Test defines main() in the one file that defines the module.
    set(test_main ${CMAKE_BINARY_DIR}/test_mains/${NAME}.cc)
    file(CONFIGURE OUTPUT ${test_main} CONTENT
      "#define BOOST_TEST_MODULE ${NAME}\n#include <boost/test/unit_test.hpp>\n")
    add_executable(test_${NAME} ${tests} ${test_main})
    target_compile_definitions(test_${NAME} PRIVATE BOOST_TEST_DYN_LINK)
    target_link_libraries(test_${NAME} PRIVATE ${library}
      Boost::unit_test_framework rapidcheck)
    add_test(NAME ${NAME} COMMAND test_${NAME})
    set_tests_properties(${NAME} PROPERTIES TIMEOUT 300
      ENVIRONMENT "RC_PARAMS=seed=20261202")
  endif()
endfunction()

# tw_package(NAME [DEPS library...]): builds the library toucanwharf_NAME from
# lib/NAME/*.cc and the test program test_NAME from unittests/NAME/*.cc.
function(tw_package NAME)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/lib/${NAME}/*.cc)
  set(library toucanwharf_${NAME})
  if(sources)
    add_library(${library} STATIC ${sources})
    target_link_libraries(${library} PUBLIC tw_options ${ARG_DEPS})
  else()
    add_library(${library} INTERFACE)
    target_link_libraries(${library} INTERFACE tw_options ${ARG_DEPS})
  endif()
  tw_unit_tests(${NAME} ${library})
endfunction()

# tw_program(NAME FOLDER [DEPS library...]): builds the program NAME from
# FOLDER/*.cc.
function(tw_program NAME FOLDER)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${FOLDER}/*.cc)
  add_executable(${NAME} ${sources})
  target_link_libraries(${NAME} PRIVATE tw_options ${ARG_DEPS})
endfunction()

# tw_position_independent(library...): builds these libraries and the packages
# that they depend on so that they can be linked into a loadable module.
function(tw_position_independent)
  foreach(library ${ARGN})
    if(NOT TARGET ${library} OR NOT library MATCHES "^(toucanwharf_|peers_)")
      continue()
    endif()
    get_target_property(type ${library} TYPE)
    set(below_property LINK_LIBRARIES)
    if(type STREQUAL "INTERFACE_LIBRARY")
      set(below_property INTERFACE_LINK_LIBRARIES)
    else()
      set_target_properties(${library} PROPERTIES POSITION_INDEPENDENT_CODE ON)
    endif()
    get_target_property(below ${library} ${below_property})
    tw_position_independent(${below})
  endforeach()
endfunction()
