add_library(quincebank_options INTERFACE)
target_compile_options(quincebank_options INTERFACE -Wall -Wextra -Werror -Wno-missing-field-initializers)
# Asio and Beast are compiled once, in libs/net; easylogging++ must not write a log file on hosts
# without disks.
target_compile_definitions(
  quincebank_options
  INTERFACE BOOST_ASIO_SEPARATE_COMPILATION BOOST_BEAST_SEPARATE_COMPILATION
            BOOST_ASIO_NO_DEPRECATED ELPP_NO_DEFAULT_LOG_FILE ELPP_THREAD_SAFE
            QUINCEBANK_VERSION="${PROJECT_VERSION}")

# quincebank_library(NAME [DEPS...]): builds src/*.cc as quincebank_NAME and tests/*.cc as its tests.
function(quincebank_library name)
  file(GLOB sources CONFIGURE_DEPENDS src/*.cc)
  set(target quincebank_${name})
  if(sources)
    add_library(${target} STATIC ${sources})
    set(scope PUBLIC)
  else()
    add_library(${target} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(${target} ${scope} ${CMAKE_CURRENT_SOURCE_DIR}/include)
  target_link_libraries(${target} ${scope} quincebank_options ${ARGN})
  file(GLOB tests CONFIGURE_DEPENDS tests/*.cc)
  if(tests AND QUINCEBANK_TESTS)
    add_executable(${target}_test ${tests})
    target_link_libraries(${target}_test PRIVATE ${target} GTest::gtest GTest::gtest_main)
    gtest_discover_tests(${target}_test TEST_PREFIX ${name}/ NO_PRETTY_VALUES DISCOVERY_TIMEOUT 30)
  endif()
endfunction()

# quincebank_program(NAME [DEPS...]): builds *.cc of the folder as the program NAME.
function(quincebank_program name)
  file(GLOB sources CONFIGURE_DEPENDS *.cc)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE quincebank_options ${ARGN})
endfunction()
