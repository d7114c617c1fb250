# Compiler warnings of the project's own code; they are errors.
add_library(chivebeam_warnings INTERFACE)
target_compile_options(chivebeam_warnings INTERFACE -Wall -Wextra -Wpedantic -Werror)
# GCC 12 takes the inlined frame allocation of coroutines for another
# allocator's.
target_compile_options(chivebeam_warnings INTERFACE
                       $<$<CXX_COMPILER_ID:GNU>:-Wno-mismatched-new-delete>)
