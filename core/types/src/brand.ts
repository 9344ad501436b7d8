declare const brandTag: unique symbol;

/** A branded type: the compiler distinguishes it from other types with the same base. */
export type Brand<Base, Name extends string> = Base & {readonly [brandTag]: Name};
