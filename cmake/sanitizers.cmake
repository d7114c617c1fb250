# Sanitizer builds, chosen by the presets asan and tsan. With the sanitizers'
# instrumentation, GCC warns falsely of uninitialized optional values in Boost.
if(CHIVEBEAM_SANITIZE OR CHIVEBEAM_TSAN)
  add_compile_options(-Wno-maybe-uninitialized)
endif()
if(CHIVEBEAM_SANITIZE)
  add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=all)
  add_link_options(-fsanitize=address,undefined)
elseif(CHIVEBEAM_TSAN)
  add_compile_options(-fsanitize=thread)
  add_link_options(-fsanitize=thread)
endif()
