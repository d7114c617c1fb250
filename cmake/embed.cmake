# embed_text(OUTPUT NAMESPACE_VARIABLE FILE...) writes a source file that holds
# each FILE as a raw string, so that the binary ships its state charts.
function(embed_text output)
  set(body "#include \"charts/embedded_charts.h\"\n\nnamespace chivebeam {\n\nstd::span<const embedded_chart> embeddedCharts() {\n  static constexpr embedded_chart Charts[] = {\n")
  foreach(file IN LISTS ARGN)
    get_filename_component(name ${file} NAME_WE)
    file(READ ${file} text)
    set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${file})
    string(APPEND body "      {\"${name}\", R\"chart(${text})chart\"},\n")
  endforeach()
  string(APPEND body "  };\n  return Charts;\n}\n\n} // namespace chivebeam\n")
  file(GENERATE OUTPUT ${output} CONTENT "${body}")
endfunction()
