# All packages, lowest layer first. A package may depend only on packages that
# are listed before it.
tw_package(support DEPS Threads::Threads nlohmann_json::nlohmann_json
  OpenSSL::Crypto ZLIB::ZLIB absl::strings absl::str_format absl::hash)
# What a process may use, and who goes first when it runs out.
tw_package(resources DEPS toucanwharf_support)
tw_package(store DEPS toucanwharf_support)
tw_package(schema DEPS toucanwharf_support)
tw_package(records DEPS toucanwharf_schema)
tw_embed_schemas(records records/envelope.json
  records/v1/model.json records/v1/version.json records/v1/adapter.json
  records/v1/pipeline.json records/v1/customer.json records/v1/service.json
  records/v2/model.json records/v2/version.json records/v2/adapter.json
  records/v2/pipeline.json records/v2/customer.json records/v2/service.json)
tw_package(settings DEPS toucanwharf_schema)
tw_embed_schemas(settings settings.json)
tw_package(timeline DEPS toucanwharf_support)
tw_package(membership DEPS toucanwharf_support)
tw_package(routing DEPS toucanwharf_support)
tw_package(admission DEPS toucanwharf_routing)
tw_package(pipeline DEPS toucanwharf_support)
# Decisions without I/O for requests that are proxied unchanged.
tw_package(placement DEPS toucanwharf_pipeline)
tw_package(routes DEPS toucanwharf_placement absl::flat_hash_map absl::strings)
tw_package(attempts DEPS toucanwharf_routes)
tw_package(limits DEPS toucanwharf_support absl::strings)
# Requests that crash the endpoints that run them.
tw_package(quarantine DEPS toucanwharf_support absl::strings
  absl::str_format absl::flat_hash_set)
tw_package(gossip DEPS toucanwharf_pipeline toucanwharf_limits
  toucanwharf_quarantine toucanwharf_store)
tw_package(endpoints DEPS toucanwharf_gossip toucanwharf_placement
  toucanwharf_store)
tw_package(eventlog DEPS toucanwharf_support absl::strings)
tw_package(once DEPS toucanwharf_store)
tw_package(control DEPS toucanwharf_records toucanwharf_store)
# The stand-ins' computations, as a library for tests and tools.
tw_package(standins DEPS toucanwharf_support)
target_include_directories(toucanwharf_standins INTERFACE ${CMAKE_SOURCE_DIR})
if(NOT TOUCANWHARF_CORE_ONLY)
  find_package(CURL REQUIRED)
  find_package(PkgConfig REQUIRED)
  pkg_check_modules(MICROHTTPD REQUIRED IMPORTED_TARGET libmicrohttpd)
  find_package(glog REQUIRED)
  # Asio and Beast are headers of Boost; only this package includes them.
  tw_package(http DEPS toucanwharf_resources absl::strings)
  target_compile_definitions(toucanwharf_http PRIVATE
    BOOST_ASIO_DISABLE_CONCEPTS BOOST_ALLOW_DEPRECATED_HEADERS)
  tw_package(instance DEPS toucanwharf_http toucanwharf_eventlog
    toucanwharf_endpoints toucanwharf_attempts toucanwharf_control
    toucanwharf_limits toucanwharf_quarantine toucanwharf_admission
    absl::strings absl::str_format)
  file(GLOB adapter_sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/platform/*.cc)
  add_library(toucanwharf_adapter STATIC ${adapter_sources})
  target_include_directories(toucanwharf_adapter PUBLIC ${CMAKE_SOURCE_DIR})
  target_link_libraries(toucanwharf_adapter PUBLIC toucanwharf_instance)
  tw_unit_tests(adapter toucanwharf_adapter)
  tw_package(transport DEPS toucanwharf_resources CURL::libcurl
    PkgConfig::MICROHTTPD)
  tw_package(platform DEPS toucanwharf_transport toucanwharf_once
    toucanwharf_control glog::glog)
  tw_program(bench_once bench/once DEPS toucanwharf_once)
  target_include_directories(bench_once PRIVATE ${CMAKE_SOURCE_DIR})
  pkg_check_modules(GRPC REQUIRED IMPORTED_TARGET grpc++ protobuf)
  add_library(peers_generated STATIC lib/peers/generated/peer.pb.cc
    lib/peers/generated/peer.grpc.pb.cc)
  target_include_directories(peers_generated SYSTEM PUBLIC
    ${CMAKE_SOURCE_DIR}/lib/peers/generated)
  target_link_libraries(peers_generated PUBLIC PkgConfig::GRPC)
  tw_package(peers DEPS toucanwharf_membership OpenSSL::Crypto peers_generated)
  tw_package(exchange DEPS toucanwharf_settings toucanwharf_transport
    toucanwharf_peers)
  include(standins/standins.cmake)
  tw_package(command DEPS toucanwharf_transport toucanwharf_records
    toucanwharf_store toucanwharf_timeline toucanwharf_eventlog
    toucanwharf_standins)
  # g++ 12 reports this false positive for cxxopts (GCC bug 105329).
  set_source_files_properties(${CMAKE_SOURCE_DIR}/lib/command/options.cc
    PROPERTIES COMPILE_OPTIONS $<$<CXX_COMPILER_ID:GNU>:-Wno-restrict>)
  target_compile_definitions(toucanwharf_command PRIVATE
    TOUCANWHARF_VERSION="${PROJECT_VERSION}")
  tw_program(toucanwharf tools/toucanwharf DEPS toucanwharf_command)
  tw_package(daemon DEPS toucanwharf_platform toucanwharf_records
    toucanwharf_settings toucanwharf_pipeline toucanwharf_timeline
    toucanwharf_admission toucanwharf_exchange glog::glog)
  # g++ 12 reports this warning for Boost 1.74's quantile accumulator.
  set_source_files_properties(${CMAKE_SOURCE_DIR}/lib/daemon/metrics.cc
    PROPERTIES COMPILE_OPTIONS -Wno-maybe-uninitialized)
  # Module that toucanwharfd loads if it serves its own interface.
  add_library(toucanwharf_router MODULE tools/toucanwharfd/module/serve.cc)
  target_link_libraries(toucanwharf_router PRIVATE tw_options
    toucanwharf_daemon)
  target_include_directories(toucanwharf_router PRIVATE
    ${CMAKE_SOURCE_DIR}/tools)
  # Exports only its entry point: the program has its own copies of the
  # libraries that both are linked to.
  target_link_options(toucanwharf_router PRIVATE -Wl,--exclude-libs,ALL)
  tw_position_independent(toucanwharf_daemon peers_generated)
  tw_program(toucanwharfd tools/toucanwharfd DEPS toucanwharf_adapter
    ${CMAKE_DL_LIBS})
  target_include_directories(toucanwharfd PRIVATE ${CMAKE_SOURCE_DIR}/tools)
  set_target_properties(toucanwharfd PROPERTIES BUILD_RPATH "$ORIGIN")
  target_compile_definitions(toucanwharfd PRIVATE
    TOUCANWHARF_VERSION="${PROJECT_VERSION}")
  tw_program(bench_capacity bench/capacity DEPS toucanwharf_support CURL::libcurl)
  target_sources(bench_capacity PRIVATE test/process/process.cc)
  target_include_directories(bench_capacity PRIVATE ${CMAKE_SOURCE_DIR})
  target_compile_definitions(bench_capacity PRIVATE
    TOUCANWHARF_BUILD_DIR="${CMAKE_BINARY_DIR}")
  tw_program(bench_decisions bench/decisions DEPS toucanwharf_admission)
  # Boost.Geometry 1.74 includes headers that Boost calls deprecated.
  target_compile_definitions(bench_decisions PRIVATE BOOST_ALLOW_DEPRECATED_HEADERS)
endif()
