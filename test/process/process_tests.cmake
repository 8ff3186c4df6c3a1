# Tests of several real processes on loopback. They need every program of the
# build; each test program gets its own ctest entry.
if(NOT TARGET toucanwharfd)
  return()
endif()
add_library(tw_process_fixture STATIC test/process/process.cc
  test/process/fleet.cc)
target_link_libraries(tw_process_fixture PUBLIC toucanwharf_standins
  toucanwharf_support CURL::libcurl)
target_compile_definitions(tw_process_fixture PUBLIC
  TOUCANWHARF_BUILD_DIR="${CMAKE_BINARY_DIR}")
add_dependencies(tw_process_fixture toucanwharfd toucanwharf_router
  standin_platform standin_engine standin_relay standin_service)

# tw_process_program(NAME): the program process_NAME of test/process/NAME_test.cc.
function(tw_process_program NAME)
  set(test_main ${CMAKE_BINARY_DIR}/test_mains/process_${NAME}.cc)
  file(CONFIGURE OUTPUT ${test_main} CONTENT
    "#define BOOST_TEST_MODULE process_${NAME}\n#include <boost/test/unit_test.hpp>\n")
  add_executable(process_${NAME} test/process/${NAME}_test.cc ${test_main})
  target_compile_definitions(process_${NAME} PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(process_${NAME} PRIVATE tw_process_fixture
    Boost::unit_test_framework)
endfunction()

# tw_process_test(NAME): test/process/NAME_test.cc as ctest's process_NAME.
function(tw_process_test NAME)
  tw_process_program(${NAME})
  add_test(NAME process_${NAME} COMMAND process_${NAME})
  set_tests_properties(process_${NAME} PROPERTIES TIMEOUT 240)
endfunction()

tw_process_test(recovery)
tw_process_test(caller_interface)
tw_process_test(state)

tw_process_test(platform)
target_sources(process_platform PRIVATE test/process/platform_fleet.cc)
target_link_libraries(process_platform PRIVATE standin_fleet
  standin_relay_parts)

tw_process_test(crashing_request)
target_sources(process_crashing_request PRIVATE
  test/process/platform_fleet.cc test/process/crashing_runs.cc)
target_link_libraries(process_crashing_request PRIVATE standin_fleet
  standin_relay_parts)

tw_process_test(crash_forms)
target_sources(process_crash_forms PRIVATE test/process/platform_fleet.cc
  test/process/crashing_runs.cc)
target_link_libraries(process_crash_forms PRIVATE standin_fleet
  standin_relay_parts)

tw_process_test(crashing_part)
target_sources(process_crashing_part PRIVATE test/process/platform_fleet.cc)
target_link_libraries(process_crashing_part PRIVATE standin_fleet
  standin_relay_parts)

tw_process_test(late_crash)
target_sources(process_late_crash PRIVATE test/process/platform_fleet.cc
  test/process/crashing_runs.cc)
target_link_libraries(process_late_crash PRIVATE standin_fleet
  standin_relay_parts)

tw_process_test(odd_entries)
target_sources(process_odd_entries PRIVATE test/process/platform_fleet.cc
  test/process/odd_entries.cc)
target_link_libraries(process_odd_entries PRIVATE standin_fleet
  standin_relay_parts)

tw_process_test(endpoint_limit)
target_sources(process_endpoint_limit PRIVATE test/process/platform_fleet.cc)
target_link_libraries(process_endpoint_limit PRIVATE standin_fleet
  standin_relay_parts)

tw_process_test(unframed_answer)
target_sources(process_unframed_answer PRIVATE test/process/platform_fleet.cc)
target_link_libraries(process_unframed_answer PRIVATE standin_fleet
  standin_relay_parts)

tw_process_test(partition)
target_sources(process_partition PRIVATE test/process/platform_fleet.cc)
target_link_libraries(process_partition PRIVATE standin_fleet
  standin_relay_parts)

tw_process_test(leader_partition)
target_sources(process_leader_partition PRIVATE
  test/process/platform_fleet.cc)
target_link_libraries(process_leader_partition PRIVATE standin_fleet
  standin_relay_parts)

tw_process_test(endpoint_notice)
target_sources(process_endpoint_notice PRIVATE test/process/platform_fleet.cc)
target_link_libraries(process_endpoint_notice PRIVATE standin_fleet
  standin_relay_parts)

tw_process_test(store_return)
target_sources(process_store_return PRIVATE test/process/platform_fleet.cc)
target_link_libraries(process_store_return PRIVATE standin_fleet
  standin_relay_parts)

tw_process_test(stopped_endpoints)
target_sources(process_stopped_endpoints PRIVATE
  test/process/platform_fleet.cc)
target_link_libraries(process_stopped_endpoints PRIVATE standin_fleet
  standin_relay_parts)

tw_process_test(abandoned_answer)
target_sources(process_abandoned_answer PRIVATE
  test/process/platform_fleet.cc)
target_link_libraries(process_abandoned_answer PRIVATE standin_fleet
  standin_relay_parts)

tw_process_test(planned_stop)
target_sources(process_planned_stop PRIVATE test/process/platform_fleet.cc)
target_link_libraries(process_planned_stop PRIVATE standin_fleet
  standin_relay_parts)

tw_process_test(stop_under_way)
target_sources(process_stop_under_way PRIVATE
  test/process/platform_fleet.cc)
target_link_libraries(process_stop_under_way PRIVATE standin_fleet
  standin_relay_parts)
tw_process_test(endless_answer)
target_sources(process_endless_answer PRIVATE test/process/platform_fleet.cc
  test/process/crowd.cc)
target_link_libraries(process_endless_answer PRIVATE standin_fleet
  standin_relay_parts)

# tw_client_tests(NAME): test/process/NAME_test.cc, whose clients don't
# behave; an entry of ctest a case, which runs alone, since all of them measure
# memory.
function(tw_client_tests NAME)
  tw_process_program(${NAME})
  target_sources(process_${NAME} PRIVATE test/process/crowd.cc
    test/process/platform_fleet.cc)
  target_link_libraries(process_${NAME} PRIVATE standin_fleet
    standin_relay_parts)
  file(STRINGS test/process/${NAME}_test.cc cases
    REGEX "^BOOST_AUTO_TEST_CASE")
  foreach(case ${cases})
    string(REGEX REPLACE "BOOST_AUTO_TEST_CASE\\(([A-Za-z]+)\\).*" "\\1"
      case "${case}")
    add_test(NAME ${NAME}_${case}
      COMMAND process_${NAME} --run_test=${case})
    set_tests_properties(${NAME}_${case} PROPERTIES TIMEOUT 120
      RUN_SERIAL TRUE)
  endforeach()
endfunction()
tw_client_tests(clients)
tw_client_tests(native_clients)

# Faults at random on real routers; CI plays two short seeds, and each seed
# that ever showed a fault (test/soak/seeds.txt).
tw_program(soak test/soak DEPS tw_process_fixture standin_fleet
  standin_relay_parts)
target_sources(soak PRIVATE test/process/platform_fleet.cc
  test/process/odd_entries.cc test/process/crowd.cc)
tw_process_test(soak_checks)
target_sources(process_soak_checks PRIVATE test/soak/checks.cc
  test/soak/callers.cc test/soak/kept_connection.cc
  test/process/platform_fleet.cc)
target_link_libraries(process_soak_checks PRIVATE standin_fleet
  standin_relay_parts)
file(STRINGS test/soak/seeds.txt soak_seeds REGEX "^[0-9]")
list(TRANSFORM soak_seeds REPLACE " .*" "")
list(JOIN soak_seeds "," soak_seeds)
add_test(NAME soak COMMAND soak --seeds ${soak_seeds} --seconds 8)
set_tests_properties(soak PROPERTIES TIMEOUT 300)
add_test(NAME soak_crashing_parts
  COMMAND soak --seeds 1,2,3 --seconds 10 --crashing-parts)
set_tests_properties(soak_crashing_parts PROPERTIES TIMEOUT 120)
add_test(NAME soak_store_returns
  COMMAND soak --seeds 1,2 --seconds 8 --store-returns)
set_tests_properties(soak_store_returns PROPERTIES TIMEOUT 120)
add_test(NAME soak_endpoint_faults
  COMMAND soak --seeds 1,2,7 --seconds 8 --crashing-requests
    --endpoint-limits)
set_tests_properties(soak_endpoint_faults PROPERTIES TIMEOUT 300)

add_test(NAME soak_paths
  COMMAND soak --seeds 1,2,3 --seconds 8 --cut-paths --endpoint-pauses)
set_tests_properties(soak_paths PROPERTIES TIMEOUT 300)

add_test(NAME soak_endpoint_stops
  COMMAND soak --seeds 1,2,3 --seconds 12 --callers 40 --endpoint-stops)
set_tests_properties(soak_endpoint_stops PROPERTIES TIMEOUT 300)

add_test(NAME soak_fleet_restarts
  COMMAND soak --seeds 1,2 --seconds 8 --fleet-restarts)
set_tests_properties(soak_fleet_restarts PROPERTIES TIMEOUT 300)

add_test(NAME soak_odd_entries
  COMMAND soak --seeds 1,2 --seconds 8 --odd-entries --crash-forms
    --crashing-requests)
set_tests_properties(soak_odd_entries PROPERTIES TIMEOUT 300)

add_test(NAME soak_crowds
  COMMAND soak --seeds 9001,9002 --seconds 8 --crowds)
set_tests_properties(soak_crowds PROPERTIES TIMEOUT 300 RUN_SERIAL TRUE)

# tw_soak_with(SWITCH [argument...]): adds the test of the seeds that
# test/soak/seeds.txt has for --SWITCH.
function(tw_soak_with SWITCH)
  file(STRINGS test/soak/seeds.txt seeds REGEX "^${SWITCH} ")
  list(TRANSFORM seeds REPLACE "^${SWITCH} ([0-9]+) .*" "\\1")
  list(JOIN seeds "," seeds)
  string(REPLACE "-" "_" name ${SWITCH})
  add_test(NAME soak_${name}
    COMMAND soak --seeds ${seeds} --${SWITCH} ${ARGN})
  set_tests_properties(soak_${name} PROPERTIES TIMEOUT 300)
endfunction()
tw_soak_with(faulty-answers --seconds 8)
tw_soak_with(planned-stops --seconds 6 --callers 16)

tw_program(bench_recovery bench/recovery DEPS tw_process_fixture)
