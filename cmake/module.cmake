# hawthornpick_module(NAME <name> SOURCES <files> [GENERATED <files>] [DEPENDS <targets>])
#
# Defines the static library hawthornpick_<name> of one folder under src/. Files in GENERATED are
# Thrift output and are compiled without the project's warnings.
function(hawthornpick_module)
    cmake_parse_arguments(ARG "" "NAME" "SOURCES;GENERATED;DEPENDS" ${ARGN})
    add_library(hawthornpick_${ARG_NAME} STATIC ${ARG_SOURCES})
    target_link_libraries(hawthornpick_${ARG_NAME} PRIVATE hawthornpick_options PUBLIC ${ARG_DEPENDS})
    target_include_directories(hawthornpick_${ARG_NAME} PUBLIC ${CMAKE_SOURCE_DIR}/src)
    if(ARG_GENERATED)
        add_library(hawthornpick_${ARG_NAME}_generated STATIC ${ARG_GENERATED})
        target_include_directories(hawthornpick_${ARG_NAME}_generated PUBLIC ${CMAKE_SOURCE_DIR}/src)
        target_link_libraries(hawthornpick_${ARG_NAME}_generated PUBLIC thrift)
        target_link_libraries(hawthornpick_${ARG_NAME} PUBLIC hawthornpick_${ARG_NAME}_generated)
    endif()
endfunction()

# hawthornpick_known_red_arguments(<name> <variable>)
#
# Sets the variable to the arguments that leave out the tests of a test binary that KNOWN-RED.txt lists.
function(hawthornpick_known_red_arguments name variable)
    set(excluded)
    if(EXISTS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
        set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS
                                               ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
        file(STRINGS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt lines REGEX "^${name} ")
        foreach(line IN LISTS lines)
            string(REGEX REPLACE "^${name} ([^ .]+)[.]([^ ]+).*" "\\2" test "${line}")
            list(APPEND excluded -xsn ${test})
        endforeach()
    endif()
    set(${variable} ${excluded} PARENT_SCOPE)
endfunction()

# hawthornpick_test(NAME <name> SOURCES <files> [DEPENDS <targets>])
#
# Defines one CppUTest binary, registered with ctest under <name>. Tests of it that KNOWN-RED.txt lists
# are left out there; tools/test runs them apart and prints their results.
function(hawthornpick_test)
    if(NOT HAWTHORNPICK_TESTS)
        return()
    endif()
    cmake_parse_arguments(ARG "" "NAME" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${ARG_NAME} ${ARG_SOURCES} ${CMAKE_SOURCE_DIR}/tests/support/testmain.cpp)
    target_link_libraries(${ARG_NAME} PRIVATE hawthornpick_options ${ARG_DEPENDS} CppUTest)
    target_include_directories(${ARG_NAME} PRIVATE ${CMAKE_SOURCE_DIR})
    hawthornpick_known_red_arguments(${ARG_NAME} excluded)
    add_test(NAME ${ARG_NAME} COMMAND ${ARG_NAME} ${excluded})
    set_tests_properties(${ARG_NAME} PROPERTIES TIMEOUT 300)
endfunction()
