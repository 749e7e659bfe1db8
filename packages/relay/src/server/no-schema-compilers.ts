/**
 * Fastify compiles schemas of routes with packages that it loads at each start. No route
 * here has a schema, so they are left out.
 */
const buildNoCompiler = () => () => {
  throw new Error('no route has a schema');
};

/** Option of Fastify's servers. */
export const noSchemaCompilers = {
  compilersFactory: {
    buildValidator: buildNoCompiler,
    buildSerializer: buildNoCompiler,
  },
};
