# Compiler warnings of the project's own code; they are errors.
add_library(chivebeam_warnings INTERFACE)
target_compile_options(chivebeam_warnings INTERFACE -Wall -Wextra -Wpedantic -Werror)
# GCC 12 warns falsely of mismatched allocators for the inlined frame
# allocation of coroutines.
target_compile_options(chivebeam_warnings INTERFACE
                       $<$<CXX_COMPILER_ID:GNU>:-Wno-mismatched-new-delete>)
