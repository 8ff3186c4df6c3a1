# tw_embed_schemas(PACKAGE path...): compiles the JSON files at the given paths
# into the package's library, so that programs need no files at run time. The
# generated source defines toucanwharf::PACKAGE::EmbeddedSchema(path), where
# path is relative to schemas/.
function(tw_embed_schemas PACKAGE)
  set(cases "")
  foreach(path ${ARGN})
    set(file ${CMAKE_SOURCE_DIR}/schemas/${path})
    set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${file})
    file(READ ${file} text)
    string(APPEND cases
      "  if (path == \"${path}\") return R\"schema(${text})schema\";\n")
  endforeach()
  set(TW_PACKAGE ${PACKAGE})
  set(TW_CASES "${cases}")
  set(generated ${CMAKE_BINARY_DIR}/generated/${PACKAGE}/embedded_schemas.cc)
  configure_file(${CMAKE_SOURCE_DIR}/cmake/embedded_schemas.cc.in ${generated} @ONLY)
  target_sources(toucanwharf_${PACKAGE} PRIVATE ${generated})
endfunction()
