# All packages, lowest first. A package may only name packages above its own
# line.
tw_package(support DEPS Threads::Threads nlohmann_json::nlohmann_json
  OpenSSL::Crypto absl::strings
  absl::str_format absl::hash)
