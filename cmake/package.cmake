# package (NAME MODULES m1 m2 ... LIBS l1 l2 ...)
#   Builds the static library cuminpin_NAME from NAME/m1.c ... and a test
#   program for each module that has a NAME/test/MODULE_test.c.
function (package name)
  cmake_parse_arguments (PKG "" "" "MODULES;LIBS" ${ARGN})
  set (sources ${PKG_MODULES})
  list (TRANSFORM sources APPEND ".c")
  add_library (cuminpin_${name} STATIC ${sources})
  target_include_directories (cuminpin_${name}
                              PUBLIC ${CMAKE_CURRENT_SOURCE_DIR})
  target_link_libraries (cuminpin_${name} PUBLIC ${PKG_LIBS})
  foreach (module ${PKG_MODULES})
    module_test (${name} ${module})
  endforeach ()
endfunction ()

# module_test (PACKAGE MODULE)
#   Builds PACKAGE/test/MODULE_test.c, if it exists, and registers it as a test.
function (module_test name module)
  set (source ${CMAKE_CURRENT_SOURCE_DIR}/test/${module}_test.c)
  if (NOT TESTS OR NOT EXISTS ${source})
    return ()
  endif ()
  set (target ${name}_${module}_test)
  add_executable (${target} ${source})
  target_link_libraries (${target} cuminpin_${name} PkgConfig::CHECK)
  add_test (NAME ${name}/${module} COMMAND ${target}
            WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
  set_tests_properties (${name}/${module} PROPERTIES
                        ENVIRONMENT "CK_FORK=no;CK_DEFAULT_TIMEOUT=60"
                        TIMEOUT 120)
endfunction ()
