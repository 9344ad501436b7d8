/** Finds the route and the organisation of a request, and chooses the service of a route that splits its traffic. */
export * from './choose-target.js';
export * from './organisation-table.js';
export * from './route-table.js';
