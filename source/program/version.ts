/** Version of the program. */
export const version = '0.1.0';
