export function bundleProgram(entryPoint: string, outfile: string): Promise<void>;
