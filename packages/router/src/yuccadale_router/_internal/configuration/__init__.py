"""The declaration in force: reading, spreading and submitting it."""
