# Builds what review/build.sh and review/build-2.sh build, with the same flags:
# the build of deploy/system.toml runs neither of them, and the run.sh of each
# case looks for its program in target/.

set (case_flags)
foreach (library GLIB JANSSON MHD URCU APR)
  list (APPEND case_flags ${${library}_CFLAGS} ${${library}_LDFLAGS})
endforeach ()
set (case_headers)
foreach (dir review review/bed-2 test/soak base)
  file (GLOB headers CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${dir}/*.h)
  list (APPEND case_headers ${headers})
endforeach ()
set (case_programs)

# review_program (OUTPUT SOURCE...)
#   Compiles a program of review/ to target/OUTPUT.  One that lacks a source or
#   can't be compiled is named in the output of the build, and the product is
#   built without it.
function (review_program output)
  set (program ${CMAKE_BINARY_DIR}/${output})
  foreach (source ${ARGN})
    if (NOT EXISTS ${CMAKE_SOURCE_DIR}/${source})
      message (NOTICE "warning: ${output} is not built, as ${source} is missing")
      file (REMOVE ${program})
      return ()
    endif ()
  endforeach ()
  add_custom_command (
    OUTPUT ${program}
    COMMAND sh tools/compile-case ${program} ${CMAKE_C_COMPILER} -std=gnu11
            -D_GNU_SOURCE -O1 -g -Wall -Wextra -Wno-missing-field-initializers
            -Ibase -Itest/soak -Ireview/bed-2 ${ARGN} ${case_flags} -pthread
            -lm
    DEPENDS ${ARGN} ${case_headers} tools/compile-case
    WORKING_DIRECTORY ${CMAKE_SOURCE_DIR}
    COMMENT "Building ${output}"
    VERBATIM)
  set (case_programs ${case_programs} ${program} PARENT_SCOPE)
endfunction ()

review_program (review/bed review/bed.c review/cases.c review/http.c
                review/store.c review/minions.c)

set (case_shared review/bed-2/bed2.c review/bed-2/store2.c
     review/bed-2/http2.c test/soak/workers.c test/soak/trace.c)
file (GLOB case_sources CONFIGURE_DEPENDS RELATIVE ${CMAKE_SOURCE_DIR}
      ${CMAKE_SOURCE_DIR}/review/bed-2/*.c)
list (REMOVE_ITEM case_sources ${case_shared})
if (NOT case_sources)
  message (NOTICE "warning: review-2/ is not built, as review/bed-2 is missing")
  file (REMOVE_RECURSE ${CMAKE_BINARY_DIR}/review-2)
endif ()
foreach (source ${case_sources})
  get_filename_component (name ${source} NAME_WE)
  review_program (review-2/${name} ${source} ${case_shared})
endforeach ()

add_custom_target (review_programs DEPENDS ${case_programs})
