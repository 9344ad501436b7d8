// Stands in for parts of libraries that the gateway does not use.
export default undefined;
