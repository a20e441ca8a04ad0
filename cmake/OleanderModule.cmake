# Declares one library module: every source under its folder but tests/, its public headers under
# include/, and the modules it depends on.
#
#   oleander_module(NAME DEPENDS core ports LIBRARIES nghttp2)
function(oleander_module name)
    cmake_parse_arguments(ARG "" "" "DEPENDS;LIBRARIES" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
    set(target oleander_${name})
    if(sources)
        add_library(${target} STATIC ${sources})
        set(scope PUBLIC)
        target_include_directories(${target} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
    else()
        add_library(${target} INTERFACE)
        set(scope INTERFACE)
    endif()
    target_include_directories(${target} ${scope} ${CMAKE_CURRENT_SOURCE_DIR}/include)
    list(TRANSFORM ARG_DEPENDS PREPEND oleander_)
    target_link_libraries(${target} ${scope} ${ARG_DEPENDS} ${ARG_LIBRARIES} Threads::Threads)

    file(GLOB_RECURSE tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
    if(tests AND OLEANDER_DEVELOPMENT)
        oleander_test(${name}_tests SOURCES ${tests} DEPENDS ${target})
        target_include_directories(${name}_tests PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src
                                                         ${CMAKE_CURRENT_SOURCE_DIR}/tests)
    endif()
endfunction()

# Declares a test program that is registered with CTest as one test.
function(oleander_test name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} GTest::gtest GTest::gtest_main rapidcheck)
    target_compile_definitions(${name} PRIVATE OLEANDER_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 900)
endfunction()
