# All packages, lowest first. A package may only name packages above its own
# line.
tw_package(support DEPS Threads::Threads nlohmann_json::nlohmann_json
  OpenSSL::Crypto absl::strings
  absl::str_format absl::hash)
tw_package(records DEPS toucanwharf_support)
tw_package(timeline DEPS toucanwharf_support)
tw_package(membership DEPS toucanwharf_support)
tw_package(routing DEPS toucanwharf_support)
tw_package(admission DEPS toucanwharf_support)
tw_package(pipeline DEPS toucanwharf_support)
tw_package(once DEPS toucanwharf_support)
tw_package(control DEPS toucanwharf_records)
if(NOT TOUCANWHARF_CORE_ONLY)
  # Each of these is added with its first source: transport, peers, daemon,
  # the two programs, the stand-ins and the benchmarks.
endif()
