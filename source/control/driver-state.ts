/** What the parts of a driver share: whether it runs, and what it must finish before it stops. */

/** State that the parts of a driver share. */
export type DriverState = {
	isStopped: boolean;
	isWriting: boolean;
	isCompacting: boolean;
	/** Called when writing or compacting ends, while the driver waits for it. */
	notifyIdle: (() => void) | undefined;
};

/** Creates the state of a running driver. */
export function createDriverState(): DriverState {
	return {
		isStopped: false, isWriting: false, isCompacting: false, notifyIdle: undefined,
	};
}

/**
 * Resolves when the driver neither writes nor compacts.
 * @param state - State of the driver.
 */
export async function waitUntilIdle(state: DriverState): Promise<void> {
	while (state.isWriting || state.isCompacting) {
		await new Promise<void>(resolve => {
			state.notifyIdle = resolve;
		});
	}
}
