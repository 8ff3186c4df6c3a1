# The stand-ins: small programs for tests and the demo, not shipped. What each
# is made of, but for its main function, is a library so that
# unittests/standin_programs can play them within one process.
file(GLOB standin_common_sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/standins/common/*.cc)
add_library(standin_common STATIC ${standin_common_sources})
target_link_libraries(standin_common PUBLIC toucanwharf_standins CURL::libcurl
  PkgConfig::MICROHTTPD)
foreach(name platform engine service relay)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/standins/${name}/*.cc)
  list(FILTER sources EXCLUDE REGEX "/main\\.cc$")
  add_library(standin_${name}_parts STATIC ${sources})
  target_link_libraries(standin_${name}_parts PUBLIC standin_common)
  add_executable(standin_${name} standins/${name}/main.cc)
  target_link_libraries(standin_${name} PRIVATE standin_${name}_parts)
endforeach()
tw_package(standin_programs DEPS standin_platform_parts standin_engine_parts
  standin_service_parts standin_relay_parts)
# The users' platform in one library, for tests that start routers on it.
file(GLOB fleet_sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/standins/fleet/*.cc)
add_library(standin_fleet STATIC ${fleet_sources})
target_include_directories(standin_fleet PUBLIC ${CMAKE_SOURCE_DIR})
target_link_libraries(standin_fleet PUBLIC toucanwharf_http toucanwharf_pipeline)
