// Keeps the support library buildable while it has no other source.
