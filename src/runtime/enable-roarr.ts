/** `roarr` writes nothing unless this is set before it is loaded; levels are filtered here instead. */
process.env['ROARR_LOG'] = 'true';
