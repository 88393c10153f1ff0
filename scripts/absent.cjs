/** Stands for optional native modules, which a single executable can't load. */
throw new Error('this optional module is not part of the executable');
