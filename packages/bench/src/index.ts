/** Entry point of the package; it exports nothing, because benchmarks, drills and tests run as commands. */
export {};
