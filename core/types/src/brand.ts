declare const brandTag: unique symbol;

/** A base type that the compiler keeps apart from others of the same base. */
export type Brand<Base, Name extends string> = Base & {readonly [brandTag]: Name};
